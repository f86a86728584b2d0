// Package demo runs nodes with fake engines, services and platform stores, all in one process.
package demo
