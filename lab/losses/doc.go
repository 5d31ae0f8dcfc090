// Package losses reports why the answers of a recorded day lost worth. It joins the nodes' event logs
// with the worth of each kind of request and prints, by window of the day, the share of worth that was
// answered in time and the shares lost by reason.
//
// Under load nodes log only a sample of the answered requests, which is scaled up. Requests that no node
// read appear in no log; their number is derived from the day's report, if given.
package losses
