// Package fake holds small stand-ins for engines, plain services and the platform, with fault injection.
package fake
