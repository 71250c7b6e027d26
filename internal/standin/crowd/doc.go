// Package crowd simulates many callers that exceed the limits of requests at once.
package crowd
