// Package admission keeps what this VM knows of the load of each service's endpoints,
// and refuses requests by it.
package admission
