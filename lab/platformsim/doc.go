// Package platformsim stands in for the users' platform: its store with the
// operator's configuration and the replicas' entries, and replicas that speak
// its protocol, with the faults of both. The demo and the tests run on it.
package platformsim
