// Package conf is the operators' document of one environment: strict decoding, validation and lookup.
package conf
