// Package plugs links every plug-in of core into the program; it is their one list.
package plugs
