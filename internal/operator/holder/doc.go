// Package holder runs the process of a VM with a disk, which holds a data
// centre's shares of budgets and rates, and stores turns of conversations.
package holder
