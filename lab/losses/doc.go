// Package losses tells where the worth of a played day was lost: it joins the lines
// that the nodes wrote with the table of kinds of requests, and prints for each window of
// the day which share of the worth ended in time and which for what other reason.
//
// Lines of requests that were answered are left out under load (see eventlog); those
// that are there then stand for the others. Requests that no node ever read, such as
// those that came while all machines were dark, have no lines; the day's report, if
// given, tells how many there were.
package losses
