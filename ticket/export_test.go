package ticket

// SetBounds lets tests fill a table with few entries.
func (t *Attempts) SetBounds(attempts, senders int) { t.maxAttempts, t.maxSenders = attempts, senders }

// SetBound lets tests fill a table with few entries.
func (o *Owner) SetBound(tickets int) { o.maxTickets = tickets }

// Sign makes a token of any payload, as another version of this code under the same key could.
func (i *Issuer) Sign(payload []byte) string { return i.sign(payload) }
