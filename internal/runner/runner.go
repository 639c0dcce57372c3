// Package runner builds a node from its parts and runs it.
package runner
