// Package inifile parses INI files strictly and against a schema. It records the line of every section and key, and reports
// every mistake with its file, line and remedy. The inventory and the settings of a process are parsed with it.
package inifile
