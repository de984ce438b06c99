// Package intake serves the HTTP/1.1 connections of callers. Requests that a caller sends before the earlier ones of its
// connection are answered (pipelining) run at the same time; their answers are sent in the order of the requests.
package intake
