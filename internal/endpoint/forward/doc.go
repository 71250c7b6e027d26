// Package forward passes callers' requests on to endpoints unchanged: it
// chooses the endpoint, retries what may run again and resumes streams.
package forward
