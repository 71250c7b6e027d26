// Package objects defines the JSON values of hawthornrail's objects in the
// platform's service and their conversions to domain types.
package objects
