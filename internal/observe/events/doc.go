// Package events is the catalogue of numbered log events.
package events
