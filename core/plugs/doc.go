// Package plugs imports all plug-ins of core, so that they register themselves. It is the only list of them.
package plugs
