// Package objects holds the JSON values of our objects in the platform's
// service and their conversions to domain types.
package objects
