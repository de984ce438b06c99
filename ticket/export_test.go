package ticket

// SetCapacity lowers the bounds so that tests can fill a table with few entries.
func (t *Attempts) SetCapacity(attempts, senders int) {
	t.maxAttempts, t.maxSenders = attempts, senders
}

// SetCapacity lowers the bound so that tests can fill a table with few entries.
func (o *OwnerTable) SetCapacity(tickets int) { o.maxTickets = tickets }

// Sign signs any payload, as another version of this code with the same key could do.
func (i *Issuer) Sign(payload []byte) string { return i.sign(payload) }
