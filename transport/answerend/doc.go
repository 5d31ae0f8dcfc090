// Package answerend decides whether an answer that has ended is whole.
//
// Guarantees:
//   - The end of a connection counts as the end of an answer only if the server closed the connection in order. A reset
//     doesn't, whichever call on the connection gets its error.
//   - The check of an end waits for nothing that the server does.
package answerend
