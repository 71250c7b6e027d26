// Package http sends requests to endpoints over HTTP/1.1; each error tells
// whether the request may have left this VM.
package http
