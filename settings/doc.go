// Package settings reads and checks the settings of one process: its addresses, availability zone, keys, seeds and store.
package settings
