// Package conf decodes, validates and looks up the operators' configuration document of an environment, and keeps the
// documents' versions.
package conf
