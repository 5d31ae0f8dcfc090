// Package standin has small stand-ins for the systems around thornwalk: the
// platform's store and machine list, model engines and plain services. They
// keep their own records of what they were asked to do, from which promises
// are checked, and misbehave on demand.
package standin
