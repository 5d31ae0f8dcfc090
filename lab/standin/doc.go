// Package standin implements stand-ins for the systems around thornwalk: the platform's
// store and machine list, model engines and plain services. They record the requests that
// they received, for checks of thornwalk's guarantees, and inject faults on demand. They
// are for tests and demos only.
package standin
