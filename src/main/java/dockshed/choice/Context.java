package dockshed.choice;

import dockshed.Director.Actions;
import dockshed.Director.Settings;
import dockshed.model.AttemptRates;
import dockshed.model.EdgeServers;
import dockshed.model.RenditionLadder;
import dockshed.model.Sessions;
import java.util.Random;

/** What all parts of the module share: settings, actions, the random source, and the state kept between events. */
record Context(
        Settings settings,
        Actions actions,
        Random random,
        RenditionLadder ladder,
        EdgeServers servers,
        Sessions sessions,
        AttemptRates rates) {}
