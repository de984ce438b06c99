package link

// Hello returns the bytes that open a connection of a sender.
func Hello(incarnation uint64) []byte {
	return appendFrame(nil, frame{kind: kindHello, number: incarnation, payload: []byte("hello")})
}
