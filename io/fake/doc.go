// Package fake holds small fakes of engines, plain services and the platform, with fault injection.
package fake
