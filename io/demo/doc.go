// Package demo runs nodes before stand-ins of engines, services and the platform, all in one process.
package demo
