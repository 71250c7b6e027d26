// Package engine implements the client side of the chat-completions protocol of
// model engines.
package engine
