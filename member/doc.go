// Package member keeps the table of the roster's VMs.
package member
