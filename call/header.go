package call

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// IsHopByHopHeader reports whether a header applies to a single connection only and must not be forwarded.
func IsHopByHopHeader(name string) bool { return hopByHopHeaders[name] }
