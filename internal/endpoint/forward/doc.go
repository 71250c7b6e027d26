// Package forward sends callers' requests to endpoints unchanged: it chooses
// the endpoint, retries requests that may be repeated and resumes streams.
package forward
