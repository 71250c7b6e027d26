// Package http sends requests to endpoints over HTTP/1.1 and knows of each
// failure whether the request may have left this VM.
package http
