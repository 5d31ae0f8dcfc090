// Package routing chooses a replica for a request: it collects candidates,
// filters them, scores them and returns them ranked. It has no side effects
// beyond its buffers: time and randomness are passed in, and the caller records
// the choice with package reserve.
package routing
