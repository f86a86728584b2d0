// Package conf decodes and validates the operators' configuration documents, and stores each environment's releases
// of them.
package conf
