// Package platformsim simulates the users' platform for demos and tests: the store with the operators'
// configuration and the replicas' entries, and replicas that speak the platform's protocol. Faults can
// be injected into both.
package platformsim
