// Package endpoint decides which endpoint serves a request and how many requests
// a VM may have in flight, from delayed load reports and the VM's own requests.
package endpoint
