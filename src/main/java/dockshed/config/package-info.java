/**
 * Reads and checks the environment, the configuration file and the operator's file. No other package reads them.
 */
package dockshed.config;
