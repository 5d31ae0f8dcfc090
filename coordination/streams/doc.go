// Package streams decides where a stream whose caller has events may go on, and which nodes keep the origins of
// streams (state/streamorigins). It has no I/O and no clock.
//
// What two software versions of a service write does not fit together. Guarantee: Bind never allows a version
// other than the one that began the stream, whatever messages are lost and whatever nodes end, as long as each
// node that relays a stream reports the origin that it observed and no other, or an uncertain one, and the version
// history is as VersionHistory states. If the origin is in doubt, the stream is refused; once it is certain, the stream
// may go on.
package streams
