package link

// Hello returns the encoded hello frame of a sender.
func Hello(incarnation uint64) []byte {
	return appendFrame(nil, frame{kind: kindHello, number: incarnation, payload: []byte("hello")})
}

// StoredBytes returns the size of the answers that are stored for other nodes.
func (t *Transport) StoredBytes() int {
	sum := 0
	for _, s := range t.allSessions() {
		sum += s.storedBytes()
	}
	return sum
}

// storedBytes returns the size of the answers that a session stores.
func (s *session) storedBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, c := range s.calls {
		sum += len(c.answer)
	}
	return sum
}
