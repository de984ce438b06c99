// Package memory bounds the bytes that a node holds for its peers: bodies of requests, and answers on their way back.
package memory
