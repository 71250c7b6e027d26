// Package fair orders the requests that wait for capacity: by weighted
// service across teams, and by program within a team.
package fair
