// Package account identifies the client account of a request by its API key. It keeps keyed hashes of the keys, so that
// neither a lookup nor a log line can reveal a key.
package account
