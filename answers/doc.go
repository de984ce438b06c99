// Package answers checks the heads of HTTP/1.1 answers before the HTTP library parses them. The library is lenient: it turns
// malformed heads into valid answers, which then pass for those of a backend server or of the store.
package answers
