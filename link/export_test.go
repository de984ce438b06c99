package link

// Hello returns the encoded hello frame of a sender.
func Hello(incarnation uint64) []byte {
	return appendFrame(nil, frame{kind: kindHello, number: incarnation, payload: []byte("hello")})
}
