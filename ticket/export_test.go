package ticket

// SetBounds lets tests fill a table with few entries.
func (t *Attempts) SetBounds(attempts, senders int) { t.maxAttempts, t.maxSenders = attempts, senders }

// SetBound lets tests fill a table with few entries.
func (o *Owner) SetBound(tickets int) { o.maxTickets = tickets }
