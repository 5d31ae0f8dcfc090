// Package poison finds the requests under which replicas end ("queries of death"): a fault
// in the replicas' software that one request brings about ends each replica that begins to
// run it, and every other request that runs there with it. Its caller sends it again, and
// each return would end one more.
//
// A ledger holds, for each request by its fingerprint, the lives of replicas that ended
// while they ran it and that no answer has made up for since. One life is one start of a
// replica; it counts once, however many tries of the request ran there. Whoever runs at a
// replica that ends is a suspect, and one of them did it:
//
//   - a suspect runs at one replica at a time. A request that comes twenty times in a
//     second would else end as many replicas as there are before the third is known;
//   - a request under which Policy.CrashThreshold lives ended is barred: it is not sent;
//   - a replica's whole answer clears it. A request that many ask for is under way at many
//     replicas that end for reasons of their own, and is answered elsewhere all the time;
//   - a barred request is tried again Policy.Trials times, after growing pauses. If all
//     replicas of a service end at once for a reason of their own, all that ran there is
//     barred; the first trial clears it. What ends each replica costs one more a trial.
//
// A plain count is compared in the tests with a likelihood ratio over how often the request
// was answered: with half of ten replicas ending at once every ten seconds both bar as many
// innocent requests (54 and 64 in 20 minutes), and the trials hold what that costs them at
// 0.003 of their requests.
//
// Ledgers of several nodes are merged: each record is a lattice, so that the order in which
// news comes does not matter and nothing is lost by a node that ends. The package does no
// I/O and reads no clock.
package poison
