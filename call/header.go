package call

// connectionHeaders hold for one connection only.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// ConnectionHeader reports whether a header holds for one connection only and is not passed on.
func ConnectionHeader(name string) bool { return connectionHeaders[name] }
