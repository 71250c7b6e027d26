// Package engine speaks the chat-completions protocol of model engines.
package engine
