// Package hangup notices callers that closed their connection while they wait for an answer.
package hangup
