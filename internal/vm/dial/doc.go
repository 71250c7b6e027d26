// Package dial opens TCP connections by IP address and port.
package dial
