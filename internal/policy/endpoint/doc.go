// Package endpoint decides which endpoint serves a request and how many
// requests a VM may have under way, from lagging reports and its own requests.
package endpoint
