// Package answerend decides whether an answer that has ended is whole. The framing of its body decides, if it has one: a
// length or the last chunk. Otherwise its connection does.
//
// Guarantees:
//   - The end of a connection counts as the end of an answer only if the server closed the connection in order. A reset
//     doesn't, whichever call on the connection gets its error.
//   - Nor does it count if the server sent nothing behind the head, or may have ended with the connection.
//   - The check of how a connection ended waits for nothing that the server does.
package answerend
