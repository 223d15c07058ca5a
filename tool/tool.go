// Package tool pins the formatter and the linter that the project is checked with.
package tool
