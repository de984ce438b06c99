// Package setting reads INI files strictly: every section and key knows its line, and every mistake is reported with its
// place and the remedy. The inventory and the settings of a process are built on it.
package setting
